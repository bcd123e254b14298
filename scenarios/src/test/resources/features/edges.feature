Feature: Edges
  Bad input is answered by a typed error and changes nothing.

  Scenario Outline: A request with <fault> is refused and not run
    Given a mesh of 6 nodes in 3 failure domains
    When a caller sends node vm-001 a request with <fault>
    Then it is refused with status <status> and code <code>
    And no target ran anything
    And 5 lookups of archive through every node of fd-1 are answered

    Examples:
      | fault                 | status | code |
      | an unknown operation  | 404    | 601  |
      | a malformed timeout   | 400    | 602  |
      | a malformed ticket    | 400    | 605  |
      | no ticket             | 428    | 604  |

  Scenario: Hostile bytes on the port for nodes close that connection and nothing else
    Given a mesh of 6 nodes in 3 failure domains
    When somebody sends 200 random connections to the node port of vm-001
    Then 5 lookups of archive through every node of fd-1 are answered
    And within 5 seconds every node is serving
    When the operators publish a change
    Then within 13 seconds every node holds the latest revision
