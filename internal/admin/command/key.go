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
	c := &cobra.Command{Use: "key", Short: "Create, withdraw and hash customers' keys"}
	c.AddCommand(newKeyCreate(), newKeyWithdraw(), newKeyHash())
	return c
}

func newKeyCreate() *cobra.Command {
	var t nodeFlags
	var customer string
	c := &cobra.Command{
		Use:   "create NAME",
		Short: "Create a key of a customer, publish its hash and print its secret, which is not stored",
		Args:  withUsageExit(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			secret := rand.Text()
			key := set.Key{Name: args[0], Customer: customer, Hash: hashSecret(secret)}
			err := editSet(c, &t, func(s *set.Set) error {
				if slices.ContainsFunc(s.Keys, func(k set.Key) bool { return k.Name == key.Name }) {
					return fmt.Errorf("key %s already exists", key.Name)
				}
				s.Keys = append(s.Keys, key)
				return nil
			})
			var exit *Exit
			if err != nil && (!errors.As(err, &exit) || exit.Code != ExitPending) {
				return err
			}
			created := struct{ Name, Customer, Secret string }{key.Name, customer, secret}
			if perr := t.printer(c).write(created, func(w io.Writer) { _, _ = fmt.Fprintln(w, secret) }); perr != nil {
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
	var t nodeFlags
	c := &cobra.Command{
		Use:   "withdraw NAME",
		Short: "Withdraw a key; it stops working everywhere once the publish is in force",
		Args:  withUsageExit(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return editSet(c, &t, func(s *set.Set) error {
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
		Args:  withUsageExit(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			secret, err := io.ReadAll(io.LimitReader(c.InOrStdin(), 4096))
			if err != nil {
				return err
			}
			for len(secret) > 0 && (secret[len(secret)-1] == '\n' || secret[len(secret)-1] == '\r') {
				secret = secret[:len(secret)-1]
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), hashSecret(string(secret)))
			return err
		},
	}
}

// hashSecret returns the SHA-256 hash of a secret in hexadecimal, as sets hold it.
func hashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// editSet applies a change to the set that a node runs and publishes the result. The
// publish fails with ExitConflict if another revision was published meanwhile.
func editSet(c *cobra.Command, t *nodeFlags, change func(*set.Set) error) error {
	ctx, cancel, node, err := t.newCall()
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
