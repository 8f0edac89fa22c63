package dnssd

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/miekg/dns"
)

// unescape turns a name or string from the presentation form (RFC 1035, 5.1), which the DNS library keeps, into
// its bytes.
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

// Escape turns an instance's label, which may hold spaces, dots and UTF-8, into the presentation form, just as the DNS
// library writes it: names are compared in that form.
func Escape(label string) string {
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

// Instance is the label of a service instance (RFC 6763, 4.1), given its full name and that of its type, as
// _dn._tcp.example.org.; an error says why the name is none.
func Instance(name, serviceType string) (string, error) {
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
