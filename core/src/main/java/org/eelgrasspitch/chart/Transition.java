package org.eelgrasspitch.chart;

import java.util.List;

/**
 * What a state does on an event.
 *
 * @param <S> enum of states
 * @param <A> enum of actions
 * @param target the next state
 * @param actions what to do on the way, in order
 */
public record Transition<S extends Enum<S>, A extends Enum<A>>(S target, List<A> actions) {

}
