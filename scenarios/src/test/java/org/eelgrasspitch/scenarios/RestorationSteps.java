package org.eelgrasspitch.scenarios;

import io.cucumber.java.en.When;

/**
 * Steps with a store that is restored from an older copy of its content.
 */
public class RestorationSteps {

	@When("a copy of the store is taken")
	public void takeCopy() {
		PlatformWorlds.current().store().takeCopy();
	}

	@When("the store is restored from its copy")
	public void restoreCopy() {
		PlatformWorlds.current().store().restoreCopy();
	}

}
