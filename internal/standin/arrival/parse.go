package arrival

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FieldError reports an unknown field or an invalid value in the description of a
// customer.
type FieldError struct {
	Field string
	Value string
}

// Error returns the name of the field and its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("customer: unknown field or invalid value: field %q, value %q", e.Field, e.Value)
}

// ParseCustomer parses a customer from comma-separated fields, such as
// "Name=school,Key=secret,Rate=20,PostShare=0.2,Limit=40,Burst=20". A surge is given by
// the durations SurgeFrom and SurgeTo and the number SurgeFactor. It returns a
// *FieldError for the first field that is unknown or invalid.
func ParseCustomer(text string) (Customer, error) {
	var c Customer
	numbers := map[string]*float64{
		"Rate":        &c.Rate,
		"PostShare":   &c.PostShare,
		"Limit":       &c.Limit,
		"SurgeFactor": &c.Surge.Factor,
	}
	durations := map[string]*time.Duration{"SurgeFrom": &c.Surge.From, "SurgeTo": &c.Surge.To}
	for part := range strings.SplitSeq(text, ",") {
		field, value, _ := strings.Cut(part, "=")
		var err error
		switch {
		case field == "Name":
			c.Name = value
		case field == "Key":
			c.Key = value
		case field == "Burst":
			c.Burst, err = strconv.Atoi(value)
		case numbers[field] != nil:
			*numbers[field], err = strconv.ParseFloat(value, 64)
		case durations[field] != nil:
			*durations[field], err = time.ParseDuration(value)
		default:
			err = strconv.ErrSyntax
		}
		if err != nil {
			return Customer{}, &FieldError{field, value}
		}
	}
	return c, nil
}
