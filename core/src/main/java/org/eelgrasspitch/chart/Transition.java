package org.eelgrasspitch.chart;

import java.util.List;

/**
 * A transition of a {@link StateChart}.
 *
 * @param <S> the enum of states
 * @param <A> the enum of actions
 * @param nextState the next state
 * @param actions the actions to execute, in order; empty if there are none
 */
public record Transition<S extends Enum<S>, A extends Enum<A>>(S nextState, List<A> actions) {

}
