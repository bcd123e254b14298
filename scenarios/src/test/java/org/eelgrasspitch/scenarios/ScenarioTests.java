package org.eelgrasspitch.scenarios;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/**
 * Runs every feature file, one scenario after the other.
 */
@CucumberOptions(features = "classpath:features", glue = "org.eelgrasspitch.scenarios", plugin = "pretty",
		tags = "not @known-red")
public class ScenarioTests extends AbstractTestNGCucumberTests {

}
