package org.eelgrasspitch.misc;

import java.util.Locale;

/**
 * Writes constants as logs, metrics and messages do.
 */
public final class EnumNames {

	private EnumNames() {
	}

	/**
	 * Returns the word for a constant.
	 * @param constant the constant
	 * @return its name in lower case
	 */
	public static String lowerCase(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

}
