Feature: Configuration
  Every node soon holds the latest acceptable version, whole, and never goes back.

  Scenario: A node that restarts while the platform is stale does not go back
    Given a mesh of 6 nodes in 3 failure domains
    When the operators publish a change
    Then within 13 seconds every node holds the latest revision
    When the platform serves revision 1 again and stays there
    And node vm-001 is killed
    And node vm-001 is started again
    Then within 13 seconds every node holds the latest revision
    And no node ever moved back

  Scenario: Without the wait for peers the same restart goes back
    Given a mesh of 6 nodes in 3 failure domains with settings "'startMillis': 0"
    When the operators publish a change
    Then within 13 seconds every node holds the latest revision
    When the platform serves revision 1 again and stays there
    And messages between nodes take 300 ms
    And node vm-001 is killed
    And node vm-001 is started again
    Then within 13 seconds every node holds the latest revision
    And some node moved back

  Scenario: A failure domain dies and returns at once while the platform is stale
    Given a mesh of 9 nodes in 3 failure domains
    When the operators publish a change
    Then within 13 seconds every node holds the latest revision
    When the platform serves revision 1 again and stays there
    And all nodes of fd-2 are killed and started at once
    Then within 13 seconds every node holds the latest revision
    And no node ever moved back

  Scenario: A failure domain dies and returns while it is cut off from the others and the platform
    Given a mesh of 9 nodes in 3 failure domains
    When the operators publish a change
    Then within 13 seconds every node holds the latest revision
    When fd-2 is cut off from the platform
    And fd-2 is cut off from the other failure domains
    And node vm-002 is killed
    And node vm-002 is started again
    Then within 13 seconds every node of fd-2 holds the latest revision
    And no node ever moved back

  Scenario: A paused node wakes up late and finds the current version
    Given a mesh of 6 nodes in 3 failure domains
    When node vm-001 is paused
    And the operators publish a change
    And 4 seconds pass
    And node vm-001 is resumed
    Then within 5 seconds every node holds the latest revision
    And within 5 seconds every node is serving
    And no node ever moved back

  Scenario: Everybody wakes at once
    Given a mesh of 9 nodes in 3 failure domains
    When all nodes are paused
    And the operators publish a change
    And 3 seconds pass
    And the platform's calls are counted from now
    And all nodes are resumed
    Then within 13 seconds every node holds the latest revision
    And the platform got at most 60 calls
    And within 10 seconds every node is serving
    And no node ever moved back

  Scenario: Everybody dies and returns at once
    Given a mesh of 9 nodes in 3 failure domains
    When the operators publish a change
    Then within 13 seconds every node holds the latest revision
    When the platform's calls are counted from now
    And all nodes are killed and started at once
    Then within 20 seconds every node holds the latest revision
    And the platform got at most 120 calls
    And no node ever moved back

  Scenario Outline: A text that <fault> is taken nowhere
    Given a mesh of 6 nodes in 3 failure domains
    When the operators publish a text that <fault>
    Then within 13 seconds every node reports the bad revision
    And no node ever held the bad revision
    When the operators publish a change
    Then within 13 seconds every node holds the latest revision

    Examples:
      | fault                     |
      | has a dangling dependency |
      | has a cycle               |
      | is truncated              |
      | is empty                  |
      | is too large              |
      | is over a limit           |

  @known-red
  Scenario: A change reaches a failure domain whose readers are dead
    Given a mesh of 12 nodes in 3 failure domains
    When both readers of fd-1 are killed
    And the operators publish a change
    Then within 13 seconds every node holds the latest revision

  Scenario: A failure domain that is cut off from the platform learns from its neighbours
    Given a mesh of 6 nodes in 3 failure domains
    When fd-3 is cut off from the platform
    And the operators publish a change
    Then within 13 seconds every node holds the latest revision

  Scenario: The one reader that watches the text loses the platform in a failure domain that is cut off
    Given a mesh of 9 nodes in 3 failure domains
    And 8 seconds pass
    When fd-3 is cut off from the other failure domains
    And the reader of fd-3 that watches the text is cut off from the platform
    And the operators publish a change
    Then within 13 seconds every node holds the latest revision
    When the network heals
    Then within 10 seconds every node is serving
    And no node ever moved back

  Scenario: A failure domain that is cut off from everything serves on and catches up
    Given a mesh of 6 nodes in 3 failure domains
    When fd-3 is cut off from the platform
    And fd-3 is cut off from the other failure domains
    And the operators publish a change
    Then within 13 seconds every node of fd-1 holds the latest revision
    And 5 lookups of archive through every node of fd-3 are answered
    When the network heals
    Then within 13 seconds every node holds the latest revision
    And no node ever moved back

  Scenario: A failure domain that hears nothing but can speak catches up by the platform
    Given a mesh of 6 nodes in 3 failure domains
    When fd-3 hears nothing from the other failure domains
    And the operators publish a change
    Then within 13 seconds every node holds the latest revision
    When the network heals
    And the operators publish a change
    Then within 13 seconds every node holds the latest revision
    And no node ever moved back

  Scenario: A long outage of the platform with restarts in it
    Given a mesh of 6 nodes in 3 failure domains
    When the operators publish a change
    Then within 13 seconds every node holds the latest revision
    When the platform has an outage
    And node vm-001 is killed
    And node vm-001 is started again
    And 16 seconds pass
    Then within 5 seconds every node holds the latest revision
    And within 10 seconds every node is isolated
    And 5 lookups of archive through every node of fd-1 are answered
    When the platform is back
    And the operators publish a change
    Then within 13 seconds every node holds the latest revision
    And within 10 seconds every node is serving
    And no node ever moved back

  Scenario: Changes cross on slow links while the platform is slow
    Given a mesh of 9 nodes in 3 failure domains
    And messages between nodes take 150 ms
    When the platform answers after 200 ms
    And the operators publish 10 changes within a second
    Then within 13 seconds every node holds the latest revision
    And no node ever moved back

  Scenario: Services are renamed and removed under load, a death and a pause
    Given a mesh of 6 nodes in 3 failure domains
    And callers look up and pay all the time
    When the operators rename, remove and restore a service 30 times while a node dies and another sleeps
    And the callers stop
    Then no node ever had a route to a service that it lacked
    And every answered payment ran, and no refused request did
    And every answer belonged to its own request and was whole
    And within 13 seconds every node holds the latest revision
    And no node ever moved back

  Scenario: Operators race: the later text wins everywhere and the race is reported
    Given a mesh of 6 nodes in 3 failure domains
    When the operators publish a change
    And an operator publishes a change written against another text
    Then within 13 seconds every node holds the latest revision
    And at least 1 node reported the race
    And no node ever moved back
