Feature: The whole path
  Callers, nodes, targets and the platform work together as separate processes.

  Scenario: A lookup is answered end to end
    Given a mesh of 6 nodes in 3 failure domains
    When a caller asks node vm-001 for read of archive
    Then the caller gets the whole answer to its own request

  Scenario: A published change is in force on every node
    Given a mesh of 6 nodes in 3 failure domains
    When the operators publish a change
    Then within 13 seconds every node holds the latest revision

  # Listed in KNOWN-RED.txt.
  @known-red
  Scenario: The kill of one node loses no later request
    Given a mesh of 6 nodes in 3 failure domains
    When node vm-002 is killed
    Then 20 lookups through every other node than vm-002 are answered
