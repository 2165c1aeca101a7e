package wire_test

import (
	"reflect"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards against a frame field that IsHeartbeat doesn't check: a frame with only that field
// would be treated as empty and not be processed.
func TestFrameWithAnyContentFieldIsNotAHeartbeat(t *testing.T) {
	g := NewWithT(t)
	for _, frame := range []interface{ IsHeartbeat() bool }{&wire.ToEntry{}, &wire.ToAgent{}} {
		fields := reflect.ValueOf(frame).Elem()
		g.Expect(frame.IsHeartbeat()).To(BeTrue())
		for i := range fields.NumField() {
			name := fields.Type().Field(i).Name
			fields.SetZero()
			fill(fields.Field(i))
			g.Expect(frame.IsHeartbeat()).To(Equal(name == "Seq" || name == "AckSeq" || name == "Confirmed"), "%T.%s", frame, name)
		}
	}
}

func fill(field reflect.Value) {
	switch field.Kind() {
	case reflect.Pointer:
		field.Set(reflect.New(field.Type().Elem()))
	case reflect.Slice:
		field.Set(reflect.MakeSlice(field.Type(), 1, 1))
	case reflect.Bool:
		field.SetBool(true)
	default:
		field.SetUint(1)
	}
}
