package org.eelgrasspitch.mesh;

import java.net.InetSocketAddress;
import java.util.OptionalDouble;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What nodes remember of the statements of targets.
 */
public class TargetStatementsTests {

	private static final TargetStatement NOTHING = new TargetStatement(OptionalDouble.empty(), false, true);

	private static final TargetStatement MALFORMED = new TargetStatement(OptionalDouble.empty(), false, false);

	private static final TargetStatement LEAVING = new TargetStatement(OptionalDouble.empty(), true, true);

	@Test
	public void answerThatWasOvertakenDoesNotEndTheLimit() {
		TargetStatements statements = new TargetStatements();
		statements.record(limit(20), 100, 200);
		statements.record(NOTHING, 150, 210);
		Assert.assertEquals(statements.limitPerSecond(), 20.0);
		statements.record(NOTHING, 201, 300);
		Assert.assertFalse(statements.isLimited());
	}

	@Test
	public void limitIsNamedAfterTheLastAnswerWithoutIt() {
		TargetStatements statements = new TargetStatements();
		statements.record(NOTHING, 100, 200);
		statements.record(NOTHING, 150, 300);
		statements.record(limit(20), 200, 900);
		statements.record(limit(20), 300, 950);
		Assert.assertEquals(statements.limitNamedAfterMillis(), 300);
		statements.record(limit(10), 900, 1_000);
		Assert.assertEquals(statements.limitNamedAfterMillis(), 950);
	}

	@Test
	public void malformedLimitAndRefusalsLeaveTheLimitInForce() {
		TargetStatements statements = new TargetStatements();
		statements.record(limit(20), 100, 200);
		statements.record(MALFORMED, 300, 400);
		Assert.assertEquals(statements.limitPerSecond(), 20.0);
	}

	@Test
	public void limitThatAPeerKnowsHoldsUntilTheFirstAnswer() {
		TargetStatements statements = new TargetStatements();
		statements.adoptLimit(20, 50);
		Assert.assertEquals(statements.limitPerSecond(), 20.0);
		statements.record(MALFORMED, 100, 200);
		Assert.assertEquals(statements.limitPerSecond(), 20.0);
		statements.record(NOTHING, 100, 200);
		Assert.assertFalse(statements.isLimited());
		statements.adoptLimit(20, 50);
		Assert.assertFalse(statements.isLimited(), "the peer's knowledge is older than the answer");
	}

	@Test
	public void targetThatSaidItIsLeavingDoesNotReturnBeforeItStartsAgain() {
		KnownStatements known = new KnownStatements();
		known.record(target(1), LEAVING, 100, 200);
		known.record(target(1), NOTHING, 300, 400);
		Assert.assertTrue(known.isLeaving(target(1)));
		Assert.assertFalse(known.isLeaving(target(2)), "it has started again");
	}

	@Test
	public void knownLimitEndsWithTheAnswerThatNamesNone() {
		KnownStatements known = new KnownStatements();
		known.record(target(1), limit(5), 100, 200);
		Assert.assertEquals(known.limitPerSecond(target(1)), 5.0);
		known.record(target(1), NOTHING, 300, 400);
		Assert.assertEquals(known.limitPerSecond(target(1)), TargetStatements.NO_LIMIT);
	}

	@Test
	public void rememberedTargetsAreBounded() {
		KnownStatements known = new KnownStatements();
		for (int start = 1; start <= 5_000; start++) {
			known.record(target(start), LEAVING, 100, 200);
		}
		Assert.assertFalse(known.isLeaving(target(1)));
		Assert.assertTrue(known.isLeaving(target(5_000)));
	}

	@DataProvider
	public Object[][] malformedLimits() {
		return new Object[][] { { "" }, { "many" }, { "-1" }, { "NaN" }, { "Infinity" }, { "1e999" }, { "5, 7" } };
	}

	@Test(dataProvider = "malformedLimits")
	public void malformedLimitIsIgnoredAndEndsNone(String value) {
		TargetStatement statement = TargetStatement.of(value, false, true);
		Assert.assertEquals(statement.limitPerSecond(), OptionalDouble.empty());
		Assert.assertFalse(statement.complete());
	}

	@Test
	public void decimalNumbersAreLimits() {
		Assert.assertEquals(TargetStatement.of("37.3", false, true).limitPerSecond(), OptionalDouble.of(37.3));
		Assert.assertEquals(TargetStatement.of(" 12 ", false, false).limitPerSecond(), OptionalDouble.of(12));
		Assert.assertEquals(TargetStatement.of("0", false, true).limitPerSecond(), OptionalDouble.of(0));
	}

	@Test
	public void onlyServedAnswersShowThatThereIsNoLimit() {
		Assert.assertTrue(TargetStatement.of(null, false, true).complete());
		Assert.assertFalse(TargetStatement.of(null, false, false).complete());
	}

	private static TargetStatement limit(double perSecond) {
		return new TargetStatement(OptionalDouble.of(perSecond), false, false);
	}

	private static TargetEntry target(long startUnixMillis) {
		return new TargetEntry("i-1", "desk", new InetSocketAddress("127.0.0.1", 1), "a", 4, false, 0, 1,
				startUnixMillis);
	}

}
