package org.eelgrasspitch.chart;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.eelgrasspitch.misc.CollectingProblemListener;
import org.eelgrasspitch.misc.JsonObjectReader;
import org.eelgrasspitch.misc.LocatedNode;
import org.eelgrasspitch.misc.LocatedNodeReader;

/**
 * A finite state machine that is defined in a JSON file.
 * <p>
 * The file defines the initial state and, for each state, its transitions and the events
 * that it ignores: <pre>
 * {"initial": "idle", "states": [
 *   {"name": "idle", "on": [{"event": "start", "to": "busy", "actions": ["open"]}], "ignores": ["stop"]},
 *   {"name": "busy", "on": [{"event": "stop", "to": "idle", "actions": []}], "ignores": ["start"]}]}
 * </pre> States, events and actions are constants of the enums {@code S}, {@code E} and
 * {@code A}; the file contains their names in lower case with hyphens instead of
 * underscores. Loading checks that every state is defined exactly once, that each state
 * either handles or ignores every event exactly once, and that every state is reachable
 * from the initial state. A chart that violates one of these rules is a programming error
 * and causes an {@link IllegalStateException}.
 * <p>
 * A chart does not hold a current state: {@link #next} is a pure function, and the code
 * that uses the chart keeps the state. A chart does not change after loading.
 *
 * @param <S> the enum of states
 * @param <E> the enum of events
 * @param <A> the enum of actions
 */
public final class StateChart<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

	private static final int MAX_CHART_BYTES = 65_536;

	/** Maximum number of elements of each array of a chart. */
	private static final int MAX_ARRAY_ELEMENTS = 64;

	private final Class<S> states;

	private final Class<E> events;

	private final Class<A> actions;

	/** Transitions by state and event; an ignored event has no entry. */
	private final Map<S, Map<E, Transition<S, A>>> transitions;

	private S initial;

	private final List<String> errors = new ArrayList<>();

	private StateChart(Class<S> states, Class<E> events, Class<A> actions) {
		this.states = states;
		this.events = events;
		this.actions = actions;
		this.transitions = new EnumMap<>(states);
	}

	/**
	 * Loads and validates a chart.
	 * @param <S> the enum of states
	 * @param <E> the enum of events
	 * @param <A> the enum of actions
	 * @param resource name of the resource in this package, without {@code .json}
	 * @param states the class of the states
	 * @param events the class of the events
	 * @param actions the class of the actions
	 * @return the chart
	 * @throws IllegalStateException if the resource does not exist or is not a valid
	 * chart
	 * @throws UncheckedIOException if the resource cannot be read
	 */
	public static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> StateChart<S, E, A> load(String resource,
			Class<S> states, Class<E> events, Class<A> actions) {
		try (InputStream input = StateChart.class.getResourceAsStream(resource + ".json")) {
			if (input == null) {
				throw new IllegalStateException("state chart resource not found: " + resource);
			}
			return parse(resource, input.readAllBytes(), states, events, actions);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static <S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> StateChart<S, E, A> parse(String name,
			byte[] content, Class<S> states, Class<E> events, Class<A> actions) {
		StateChart<S, E, A> chart = new StateChart<>(states, events, actions);
		chart.read(content);
		if (!chart.errors.isEmpty()) {
			throw new IllegalStateException("state chart " + name + ": " + String.join("; ", chart.errors));
		}
		return chart;
	}

	/**
	 * Returns the initial state.
	 * @return the state before the first event
	 */
	public S initial() {
		return this.initial;
	}

	/**
	 * Returns the transition for an event.
	 * @param state the current state
	 * @param event the event
	 * @return the transition, or empty if the state ignores the event
	 */
	public Optional<Transition<S, A>> next(S state, E event) {
		return Optional.ofNullable(this.transitions.get(state).get(event));
	}

	private void read(byte[] content) {
		CollectingProblemListener listener = new CollectingProblemListener();
		Optional<LocatedNode> root = new LocatedNodeReader(MAX_CHART_BYTES, listener).read(content);
		root.flatMap((node) -> JsonObjectReader.of("the chart", node, listener)).ifPresent((fields) -> {
			this.initial = parseConstant(this.states, fields.text("initial"));
			fields.list("states", 1, MAX_ARRAY_ELEMENTS)
				.forEach((node) -> JsonObjectReader.of("a state", node, listener)
					.ifPresent((state) -> readState(state, listener)));
			fields.rejectUnknownKeys();
		});
		listener.problems().forEach((problem) -> this.errors.add(problem.toString()));
		if (this.errors.isEmpty()) {
			checkStates();
		}
	}

	private void readState(JsonObjectReader fields, CollectingProblemListener listener) {
		S state = parseConstant(this.states, fields.text("name"));
		Map<E, Transition<S, A>> outgoing = new EnumMap<>(this.events);
		EnumSet<E> handled = EnumSet.noneOf(this.events);
		for (LocatedNode node : fields.list("on", 0, MAX_ARRAY_ELEMENTS)) {
			JsonObjectReader.of("a transition", node, listener).ifPresent((transition) -> {
				E event = parseConstant(this.events, transition.text("event"));
				List<A> transitionActions = transition.texts("actions", MAX_ARRAY_ELEMENTS)
					.stream()
					.map((action) -> parseConstant(this.actions, action.value()))
					.toList();
				outgoing.put(event,
						new Transition<>(parseConstant(this.states, transition.text("to")), transitionActions));
				markHandled(state, handled, event);
				transition.rejectUnknownKeys();
			});
		}
		fields.texts("ignores", MAX_ARRAY_ELEMENTS)
			.forEach((ignored) -> markHandled(state, handled, parseConstant(this.events, ignored.value())));
		fields.rejectUnknownKeys();
		EnumSet.complementOf(handled)
			.forEach((event) -> this.errors.add("state " + state + " neither handles nor ignores " + event));
		if (this.transitions.put(state, outgoing) != null) {
			this.errors.add("state " + state + " is defined twice");
		}
	}

	private void markHandled(S state, Set<E> handled, E event) {
		if (!handled.add(event)) {
			this.errors.add("state " + state + " handles " + event + " twice");
		}
	}

	private void checkStates() {
		Set<S> reachable = EnumSet.of(this.initial);
		Deque<S> pending = new ArrayDeque<>(reachable);
		while (!pending.isEmpty()) {
			for (Transition<S, A> transition : this.transitions.getOrDefault(pending.pop(), Map.of()).values()) {
				if (reachable.add(transition.nextState())) {
					pending.push(transition.nextState());
				}
			}
		}
		for (S state : this.states.getEnumConstants()) {
			if (!this.transitions.containsKey(state)) {
				this.errors.add("state " + state + " is not defined");
			}
			if (!reachable.contains(state)) {
				this.errors.add("state " + state + " is not reachable from the initial state");
			}
		}
	}

	private <C extends Enum<C>> C parseConstant(Class<C> type, String name) {
		String constantName = name.toUpperCase(Locale.ROOT).replace('-', '_');
		for (C constant : type.getEnumConstants()) {
			if (constant.name().equals(constantName)) {
				return constant;
			}
		}
		this.errors.add("unknown " + type.getSimpleName() + " \"" + name + "\"");
		return type.getEnumConstants()[0];
	}

}
