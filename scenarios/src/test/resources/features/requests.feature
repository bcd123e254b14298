Feature: Requests
  Callers get true and whole answers while targets leave, break, crash or are overloaded.

  @known-red
  Scenario: Random faults run nothing twice and tell no lie
    Given a mesh of 9 nodes in 3 failure domains
    And callers look up and pay all the time
    When for 25 seconds nodes are killed, paused and cut off at random
    And the callers stop
    Then no request ran twice that must not
    And every answered payment ran, and no refused request did
    And every answer belonged to its own request and was whole
    And callers were answered at least 500 times
    And no node ever moved back

  Scenario: Random faults while requests run long tell no lie
    Given a mesh of 6 nodes in 3 failure domains
    And requests take 300 ms
    And callers look up and pay all the time
    When for 20 seconds nodes are killed, paused and cut off at random
    And the callers stop
    Then no request ran twice that must not
    And every answered payment ran, and no refused request did
    And every answer belonged to its own request and was whole

  Scenario: A leaving target gets no new work, though the list still names it
    Given a mesh of 6 nodes in 3 failure domains
    And callers look up and pay all the time
    And 2 seconds pass
    When the target of vm-001 begins to drain
    And 3 seconds pass
    Then the target of vm-001 gets no request within 4 seconds
    When the callers stop
    Then every answered payment ran, and no refused request did
    And every answer belonged to its own request and was whole

  # Guards against nodes that send a target more than the limit it names.
  Scenario: A target gets no more from all nodes together than the limit that it names
    Given a mesh of 6 nodes in 3 failure domains
    And callers look up and pay all the time
    And 2 seconds pass
    When the target of vm-001 states "Target-Limit" as "10"
    And 3 seconds pass
    Then the target of vm-001 gets at least 20 and at most 65 requests within 4 seconds
    And the target of vm-001 gets at least 20 and at most 65 requests within 4 seconds
    When the callers stop
    Then every answered payment ran, and no refused request did

  # Guards against requests for a target that says in its answers that it is leaving, and serves them.
  Scenario: A target that says it is leaving gets no new work, though its health endpoint says nothing
    Given a mesh of 6 nodes in 3 failure domains
    And callers look up and pay all the time
    And 2 seconds pass
    When the target of vm-001 states "Target-State" as "leaving"
    And 2 seconds pass
    Then the target of vm-001 gets at least 0 and at most 0 requests within 4 seconds
    When the callers stop
    Then every answered payment ran, and no refused request did
    And every answer belonged to its own request and was whole

  Scenario: A target that lies about its health is avoided, and half an answer is never passed on
    Given a mesh of 6 nodes in 3 failure domains
    And the target of vm-002 breaks off every answer but says it is healthy
    And callers look up and pay all the time
    And 4 seconds pass
    When the broken target's requests are counted from now
    And 5 seconds pass
    Then the broken target got at most 40 requests since
    When the callers stop
    Then every answer belonged to its own request and was whole

  Scenario: A request that crashes its targets crashes at most two
    Given a mesh of 6 nodes in 3 failure domains
    And targets are processes of their own
    When a caller sends a lookup that crashes its target through node vm-001
    And a caller sends a lookup that crashes its target through node vm-002
    And a caller sends a lookup that crashes its target through node vm-003
    And a caller sends a lookup that crashes its target through node vm-004
    And a caller sends a lookup that crashes its target through node vm-005
    Then at most 2 targets have crashed
    And each of its callers got a final answer
    And 5 lookups of renewals through every node of fd-1 are answered

  Scenario: A request on which targets break off reaches at most two, though they look alive
    Given a mesh of 6 nodes in 3 failure domains
    And every target of renewals breaks off every answer but says it is healthy
    When a caller sends a lookup that crashes its target through node vm-001
    And a caller sends a lookup that crashes its target through node vm-002
    And a caller sends a lookup that crashes its target through node vm-003
    And a caller sends a lookup that crashes its target through node vm-004
    And a caller sends a lookup that crashes its target through node vm-005
    Then the broken targets got at most 2 requests since
    And each of its callers got a final answer

  # Guards against a home that knows only the deaths of its own target and so lets it die again and again.
  Scenario: A home that starts after the deaths learns of them when its target dies
    Given a mesh of 6 nodes in 3 failure domains
    And every target of renewals breaks off every answer but says it is healthy
    When a caller sends a lookup that crashes its target through node vm-001
    And a caller sends a lookup that crashes its target through node vm-002
    And all nodes of fd-1 are killed and started at once
    Then within 20 seconds every node holds the latest revision
    When a caller sends a lookup that crashes its target through node vm-003
    And a caller sends a lookup that crashes its target through node vm-004
    And a caller sends a lookup that crashes its target through node vm-005
    And a caller sends a lookup that crashes its target through node vm-006
    And a caller sends a lookup that crashes its target through node vm-003
    And a caller sends a lookup that crashes its target through node vm-004
    And a caller sends a lookup that crashes its target through node vm-005
    And a caller sends a lookup that crashes its target through node vm-006
    And a caller sends a lookup that crashes its target through node vm-003
    And a caller sends a lookup that crashes its target through node vm-004
    Then the broken targets got at most 3 requests since
    And each of its callers got a final answer

  Scenario: Targets that all failed are used again as soon as they work
    Given a mesh of 6 nodes in 3 failure domains
    And every target of renewals breaks off every answer but says it is healthy
    And callers look up and pay all the time
    And 3 seconds pass
    When the targets of renewals work again
    And 3 seconds pass
    And the callers stop
    Then 5 lookups of renewals through every node of fd-1 are answered
    And every answer belonged to its own request and was whole

  Scenario: Retries stay within a tenth when a whole service is down
    Given a mesh of 6 nodes in 3 failure domains
    And callers look up and pay all the time
    And 2 seconds pass
    When the target of vm-001 begins to drain
    And the target of vm-002 begins to drain
    And the target of vm-003 begins to drain
    And 8 seconds pass
    And the callers stop
    Then retries of all nodes were at most 10 percent of requests
    And every answered payment ran, and no refused request did

  Scenario: A chain of 12 whose last service is down does not multiply the load
    Given a chain of 12 services in 2 failure domains
    When the last of 12 services refuses everything
    And 8 callers call the first of 12 services for 8 seconds
    Then none of 12 services got more than 110 percent of the callers' requests

  Scenario: Overload sheds lookups before payments, and ends with the load
    Given a mesh of 6 nodes in 3 failure domains
    And requests take 100 ms
    And 120 callers look up and 15 callers pay as fast as they can
    And 8 seconds pass
    When the callers stop
    Then at least 90 percent of payments were answered
    And at least 100 lookups were shed
    And every answered payment ran, and no refused request did
    And every answer belonged to its own request and was whole
    And 5 lookups of renewals through every node of fd-1 are answered
