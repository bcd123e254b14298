package org.eelgrasspitch.fleet;

import java.util.Comparator;
import java.util.List;

import org.eelgrasspitch.text.Vm;

/**
 * RendezvousHash hashing: every process that knows the same candidates ranks them alike
 * for a key, without talking to the others. Removing a candidate only promotes those
 * behind it, and adding one demotes at most one place, so views that differ a little rank
 * almost alike.
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
	 * @return the candidates, the best first
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
