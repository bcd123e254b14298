package org.eelgrasspitch.fleet;

import java.util.Comparator;
import java.util.List;

import org.eelgrasspitch.text.Vm;

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
	 * Ranks VMs for a key.
	 * @param key the key
	 * @param vms the candidates
	 * @return the candidates in descending order of weight; ties are ordered by name
	 */
	public static List<Vm> rank(String key, List<Vm> vms) {
		return vms.stream()
			.sorted(Comparator.<Vm>comparingLong((vm) -> weight(key, vm.name())).reversed().thenComparing(Vm::name))
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
