package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Route selection by host and longest prefix, and distribution by weight.
 */
public class RouteTableTests {

	private final RouteTable table = new RouteTable(List.of(route("root", "a.example", "/"),
			route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("b", "b.example", "/x/")));

	@DataProvider
	public Object[][] requests() {
		return new Object[][] { { "a.example", "/x/y/1", "long" }, { "a.example", "/x/y", "short" },
				{ "a.example", "/x/y/", "long" }, { "a.example", "/x", "root" }, { "a.example", "/", "root" },
				{ "A.Example:8080", "/x/1?to=/x/y/", "short" }, { "b.example", "/x/y/z", "b" },
				{ "b.example", "/xy/", "none" }, { "b.example", "x/", "none" }, { "c.example", "/x/", "none" },
				{ "b.example", "", "none" } };
	}

	@Test(dataProvider = "requests")
	public void selectsTheLongestPrefix(String host, String path, String expected) {
		Assert.assertEquals(this.table.find(host, path).map(MeshRoute::name).orElse("none"), expected);
	}

	@Test
	public void weightsAreProportions() {
		MeshRoute split = new MeshRoute("split", "a.example", "/", true, 1, 0, 1, 1,
				List.of(new Destination("a", 90), new Destination("b", 0), new Destination("c", 10)));
		List<String> selected = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			selected.add(split.selectService(i / 100.0));
		}
		Assert.assertEquals(selected.stream().filter("a"::equals).count(), 90);
		Assert.assertEquals(selected.stream().filter("c"::equals).count(), 10);
	}

	private static MeshRoute route(String name, String host, String prefix) {
		return new MeshRoute(name, host, prefix, true, 600, 1, 2_000, 2, List.of(new Destination("s", 1)));
	}

}
