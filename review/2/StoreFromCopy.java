import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The store comes back from a copy some seconds old. Seconds later, with the store calm
 * again, the operator publishes a version that moves one route and drops another. Which
 * version do the nodes follow?
 */
public final class StoreFromCopy {

	private static final String HOST = "shop.example";

	private static final List<String> SERVICES = List.of("alpha", "beta");

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(arguments[2]);
		int exit = 2;
		try (Recorder recorder = new Recorder(Path.of(arguments[1]))) {
			recorder.line("trouble: %s", trouble);
			try (Deployment deployment = new Deployment(Path.of(arguments[0]), recorder)) {
				exit = run(deployment, recorder, trouble) ? 0 : 1;
			}
			catch (Exception ex) {
				recorder.line("could not run: %s", ex);
			}
			recorder.line("exit %d", exit);
		}
		Runtime.getRuntime().halt(exit);
	}

	private static boolean run(Deployment deployment, Recorder recorder, boolean trouble) throws Exception {
		for (String zone : List.of("hall-a", "hall-b", "hall-c")) {
			SERVICES.forEach((service) -> deployment.machine(zone, service));
		}
		Store store = deployment.startStore();
		publish(store, recorder, 10, 0, "alpha", true);
		for (Deployment.Machine machine : deployment.machines) {
			deployment.startServer(machine, "i-" + machine.service + "-" + machine.zone);
		}
		deployment.startNodes();
		probe(deployment, recorder, "before", true);

		// The copy is taken here. Twelve versions in quick succession follow, 0.33 s apart.
		Store.Copy copy = store.copy();
		recorder.line("the copy of the store is taken at revision %d", copy.revision());
		for (int i = 1; i <= 12; i++) {
			publish(store, recorder, 10 + i, i, "alpha", true);
			Thread.sleep(330);
		}
		Thread.sleep(1_000);
		if (trouble) {
			recorder.line("the store goes away at revision %d", store.revision());
			store.goAway();
			Thread.sleep(1_000);
			store.comeBackFrom(copy);
			recorder.line("the store is back from its copy, at revision %d", store.revision());
		}
		// What the operator wrote is written again: op/config holds one version, the newest.
		Thread.sleep(500);
		publish(store, recorder, 22, 12, "alpha", true);
		Thread.sleep(6_500);
		probe(deployment, recorder, "after the store's return", true);

		double confirmed = publish(store, recorder, 30, 12, "beta", false);
		recorder.line("the bound ends at %.3f s (config_apply_s 2 and max_stretch_s 5)", confirmed + 7);
		Thread.sleep(8_000);
		boolean held = probe(deployment, recorder, "8 s after r30", false);
		Thread.sleep(10_000);
		held &= probe(deployment, recorder, "18 s after r30", false);
		recorder.line(held ? "the rule held" : "the rule was broken");
		return held;
	}

	private static double publish(Store store, Recorder recorder, int version, int extraRoutes, String service,
			boolean withOldRoute) {
		List<String> rules = new ArrayList<>();
		rules.add(Deployment.rule("r-buy", false, "/buy/", service, 2.5, 2));
		if (withOldRoute) {
			rules.add(Deployment.rule("r-old", true, "/old/", "alpha", 2, 2));
		}
		for (int i = 0; i < extraRoutes; i++) {
			rules.add(Deployment.rule("r-idle" + i, true, "/idle" + i + "/", "alpha", 2, 2));
		}
		long revision = store.put("op/config", Deployment.config(version, HOST, SERVICES, rules));
		double now = recorder.now();
		recorder.line("the store confirms r%d at revision %d: /buy/ goes to %s, /old/ %s", version, revision, service,
				withOldRoute ? "goes to alpha" : "is dropped");
		return now;
	}

	/** Sends two requests to each node. Returns whether all are handled as the version in force allows. */
	private static boolean probe(Deployment deployment, Recorder recorder, String when, boolean old) throws Exception {
		boolean all = true;
		for (Deployment.Machine machine : deployment.machines) {
			for (int i = 0; i < 2; i++) {
				String id = Long.toHexString(System.nanoTime()) + "b" + i;
				Http.Answer buy = Http.call(machine.outbound, "POST", HOST, "/buy/1", id, "order".getBytes(), 3_000);
				String ranBy = buy.header("x-response-signature");
				boolean right = ranBy.startsWith("sig.i-" + (old ? "alpha" : "beta"));
				recorder.line("%s: %s POST /buy/1 %s -> %s%s", when, machine.name, id, buy.text(),
						right ? "" : "  WRONG");
				id = Long.toHexString(System.nanoTime()) + "o" + i;
				Http.Answer gone = Http.call(machine.outbound, "GET", HOST, "/old/1", id, new byte[0], 3_000);
				boolean rightToo = gone.status() == (old ? 200 : 404);
				recorder.line("%s: %s GET /old/1 %s -> %s%s", when, machine.name, id, gone.text(),
						rightToo ? "" : "  WRONG");
				all &= right && rightToo;
			}
		}
		if (old && !all) {
			throw new IllegalStateException("requests fail before anything happened");
		}
		return all;
	}

}
