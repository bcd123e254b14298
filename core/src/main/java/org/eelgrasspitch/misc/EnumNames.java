package org.eelgrasspitch.misc;

import java.util.Locale;

/**
 * Text form of enum constants in logs, metrics and messages.
 */
public final class EnumNames {

	private EnumNames() {
	}

	/**
	 * Returns the name of a constant in lower case.
	 * @param constant the constant
	 * @return the name, with underscores kept
	 */
	public static String lowerCase(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

}
