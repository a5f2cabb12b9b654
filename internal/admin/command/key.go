package command

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/config/set"
)

func newKey() *cobra.Command {
	c := &cobra.Command{Use: "key", Short: "Create and withdraw customers' keys"}
	c.AddCommand(newKeyCreate(), newKeyWithdraw(), newKeyHash())
	return c
}

func newKeyCreate() *cobra.Command {
	var t target
	var customer string
	c := &cobra.Command{
		Use:   "create NAME",
		Short: "Create a key of a customer, publish it and print its secret, which is kept nowhere",
		Args:  usage(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			secret := rand.Text()
			key := set.Key{Name: args[0], Customer: customer, Hash: hashOf(secret)}
			err := edit(c, &t, func(s *set.Set) error {
				if slices.ContainsFunc(s.Keys, func(k set.Key) bool { return k.Name == key.Name }) {
					return fmt.Errorf("there is a key %s already", key.Name)
				}
				s.Keys = append(s.Keys, key)
				return nil
			})
			var exit *Exit
			if err != nil && (!errors.As(err, &exit) || exit.Code != ExitPending) {
				return err
			}
			created := struct{ Name, Customer, Secret string }{key.Name, customer, secret}
			if perr := t.printer(c).value(created, func(w io.Writer) { _, _ = fmt.Fprintln(w, secret) }); perr != nil {
				return perr
			}
			return err
		},
	}
	t.register(c)
	c.Flags().StringVar(&customer, "customer", "", "name of the customer")
	return c
}

func newKeyWithdraw() *cobra.Command {
	var t target
	c := &cobra.Command{
		Use:   "withdraw NAME",
		Short: "Withdraw a key; it stops working everywhere once the publish is in force",
		Args:  usage(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return edit(c, &t, func(s *set.Set) error {
				n := len(s.Keys)
				s.Keys = slices.DeleteFunc(s.Keys, func(k set.Key) bool { return k.Name == args[0] })
				if len(s.Keys) == n {
					return fmt.Errorf("there is no key %s", args[0])
				}
				return nil
			})
		},
	}
	t.register(c)
	return c
}

func newKeyHash() *cobra.Command {
	return &cobra.Command{
		Use:   "hash",
		Short: "Print the hash of the secret that is read from standard input, for use in a set",
		Args:  usage(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			secret, err := io.ReadAll(io.LimitReader(c.InOrStdin(), 4096))
			if err != nil {
				return err
			}
			for len(secret) > 0 && (secret[len(secret)-1] == '\n' || secret[len(secret)-1] == '\r') {
				secret = secret[:len(secret)-1]
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), hashOf(string(secret)))
			return err
		},
	}
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// edit changes the set that a node runs and publishes it.
func edit(c *cobra.Command, t *target, change func(*set.Set) error) error {
	ctx, cancel, node, err := t.open()
	if err != nil {
		return err
	}
	defer cancel()
	config, err := node.Config(ctx)
	if err != nil {
		return err
	}
	s, err := document.Decode(config.Set)
	if err != nil {
		return err
	}
	if err := change(&s); err != nil {
		return &Exit{Code: ExitUsage, Err: err}
	}
	text, err := document.Encode(s)
	if err != nil {
		return err
	}
	return publish(c, t, node, message.Publish{Base: config.Revision, PublishID: rand.Text(), Set: text})
}
