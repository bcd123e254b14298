package org.eelgrasspitch.node;

import java.util.List;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import org.eelgrasspitch.fleet.FleetEvent;

/**
 * HTTP interface for operators: {@code GET} on {@code /status}, {@code /routes},
 * {@code /metrics} and {@code /burn}, and {@code POST} on {@code /leave}, which makes the
 * node refuse new requests and notify its peers but does not stop the process.
 */
final class OperatorHttpApi {

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final int SERVICE_UNAVAILABLE = 503;

	/** The stop of the node does not wait for responses to operators. */
	private static final Runnable NOT_AWAITED = () -> {
	};

	private OperatorHttpApi() {
	}

	/**
	 * Creates the application.
	 * @param context context of the node
	 * @param control the control loop
	 * @param home provides request and record counts
	 * @param entry provides the ejected targets
	 * @return the application, not started
	 */
	static Jooby create(NodeContext context, ControlLoop control, HomeService home, EntryService entry) {
		Jooby app = new Jooby();
		app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		app.get("/status", (request) -> status(context, control, home, entry, request));
		app.get("/routes", (request) -> {
			HttpResponses.sendJson(request, OK, RouteReport.of(context.state().snapshot()), NOT_AWAITED);
			return request;
		});
		app.get("/metrics", (request) -> {
			request.setResponseType(MediaType.text);
			return request.send(context.metrics().exposition());
		});
		app.get("/burn", (request) -> {
			List<ObjectiveCounts> rows = context.state().snapshot().map(context.objectives()::rows).orElse(List.of());
			HttpResponses.sendJson(request, OK, rows, NOT_AWAITED);
			return request;
		});
		app.post("/leave", (request) -> {
			control.post(new FleetEvent.LeaveRequested());
			HttpResponses.sendJson(request, ACCEPTED, new StateResponse("leaving"), NOT_AWAITED);
			return request;
		});
		return app;
	}

	private static Object status(NodeContext context, ControlLoop control, HomeService home, EntryService entry,
			Context request) throws Exception {
		return request.detach((detached) -> {
			control.view().whenComplete((view, failure) -> {
				if (failure != null) {
					HttpResponses.sendJson(request, SERVICE_UNAVAILABLE, new StateResponse("busy"), NOT_AWAITED);
					return;
				}
				HttpResponses.sendJson(request, OK, StatusReport.of(context, view, home, entry), NOT_AWAITED);
			});
			return request;
		});
	}

	/**
	 * Body of a response without further data.
	 *
	 * @param state what the node does: {@code leaving} or {@code busy}
	 */
	record StateResponse(String state) {

	}

}
