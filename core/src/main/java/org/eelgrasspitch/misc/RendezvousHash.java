package org.eelgrasspitch.misc;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous hashing: processes that know the same candidates compute the same ranking
 * for a key without communication. Removing a candidate moves those behind it up by one
 * rank, and adding one moves others down by at most one rank, so processes with slightly
 * different candidate lists compute nearly the same ranking.
 */
public final class RendezvousHash {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private RendezvousHash() {
	}

	/**
	 * Ranks candidates for a key.
	 * @param <T> type of the candidates
	 * @param key the key
	 * @param candidates the candidates
	 * @param name returns the name of a candidate
	 * @return the candidates in descending order of weight; ties are ordered by name
	 */
	public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
		return candidates.stream()
			.sorted(Comparator.<T>comparingLong((candidate) -> weight(key, name.apply(candidate)))
				.reversed()
				.thenComparing(name))
			.toList();
	}

	/**
	 * Computes the weight of one candidate for a key.
	 * @param key the key
	 * @param candidate the candidate's name
	 * @return a non-negative pseudo-random number
	 */
	public static long weight(String key, String candidate) {
		long hash = fmix64(fnv1a(fnv1a(FNV_OFFSET, key) * FNV_PRIME, candidate));
		return hash & Long.MAX_VALUE;
	}

	private static long fnv1a(long hash, String text) {
		long result = hash;
		for (int index = 0; index < text.length(); index++) {
			result = (result ^ text.charAt(index)) * FNV_PRIME;
		}
		return result;
	}

	private static long fmix64(long value) {
		long result = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		result = (result ^ (result >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return result ^ (result >>> 33);
	}

}
