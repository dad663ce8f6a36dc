import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the few JSON texts that the platform exchanges. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Parses an object, with maps, lists, strings, numbers (as doubles), booleans and null. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    /** A quoted string. */
    static String quote(String value) {
        return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        switch (c) {
            case '{': return map();
            case '[': return list();
            case '"': return string();
            case 't': at += 4; return Boolean.TRUE;
            case 'f': at += 5; return Boolean.FALSE;
            case 'n': at += 4; return null;
            default: return number();
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
            skip();
            String key = string();
            skip();
            at++;
            result.put(key, value());
            skip();
            if (text.charAt(at) == ',') at++;
            skip();
        }
        at++;
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
            result.add(value());
            skip();
            if (text.charAt(at) == ',') at++;
            skip();
        }
        at++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n': result.append('\n'); break;
                case 't': result.append('\t'); break;
                case 'r': result.append('\r'); break;
                case 'u':
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: result.append(escaped);
            }
        }
        at++;
        return result.toString();
    }

    private Double number() {
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) at++;
        return Double.valueOf(text.substring(start, at));
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
