package dnssd

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/miekg/dns"
)

// unescape converts a name or string from presentation format (RFC 1035, section 5.1), in which the DNS library holds it, to its bytes.
func unescape(s string) string {
	if !strings.Contains(s, `\`) {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c != '\\' || i+1 == len(s):
			b.WriteByte(c)
		case i+3 < len(s) && isDigit(s[i+1]) && isDigit(s[i+2]) && isDigit(s[i+3]):
			b.WriteByte((s[i+1]-'0')*100 + (s[i+2]-'0')*10 + s[i+3] - '0')
			i += 3
		default:
			i++
			b.WriteByte(s[i])
		}
	}
	return b.String()
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// EscapeLabel converts an instance's label, which may contain spaces, dots and UTF-8, to presentation format exactly as the DNS library
// writes it, because names are compared in that form.
func EscapeLabel(label string) string {
	var b strings.Builder
	for i := 0; i < len(label); i++ {
		switch c := label[i]; {
		case strings.IndexByte(". '@;()\"\\", c) >= 0:
			b.WriteByte('\\')
			b.WriteByte(c)
		case c < ' ' || c >= 0x7f:
			fmt.Fprintf(&b, `\%03d`, c)
		default:
			b.WriteByte(c)
		}
	}
	return b.String()
}

// InstanceLabel returns the label of a service instance (RFC 6763, section 4.1), given its full name and that of its service type, such as
// _dn._tcp.example.org. It returns an error if the name is not a valid instance name.
func InstanceLabel(name, serviceType string) (string, error) {
	labels := dns.SplitDomainName(name)
	if len(labels) == 0 || !strings.EqualFold(dns.Fqdn(strings.Join(labels[1:], ".")), dns.Fqdn(serviceType)) {
		return "", fmt.Errorf("%q is no instance of %s", name, serviceType)
	}
	label := unescape(labels[0])
	switch {
	case len(label) > 63:
		return "", fmt.Errorf("label of %d bytes; 63 are allowed", len(label))
	case !utf8.ValidString(label):
		return "", fmt.Errorf("label %q is not UTF-8", label)
	case strings.ContainsFunc(label, unicode.IsControl):
		return "", fmt.Errorf("label %q has a control character", label)
	}
	return label, nil
}
