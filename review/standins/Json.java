/** Minimal JSON text helpers for the stand-ins. */
final class Json {

	private Json() {
	}

	static String quote(String text) {
		return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
	}

}
