Feature: What a target has started is not given up
  A node that stops, or the target beside it, ends nothing that runs.

  # Guards against a home that closes while it still accepts calls.
  Scenario Outline: A home that stops gives up no call that its target has started, with 10 s to stop
    Given servers with 60 slots, 10000 ms to stop and their nodes at desk-a pay-a pay-b
    When the entries of pay-b lapse
    And 500 ms pass
    And the node at pay-a is told to stop, and from <from> ms on callers at desk-a send POST /pay/watch200 every 4 ms until it has ended
    Then no request that started at pay-a ended with status 502 or without an answer

    Examples:
      | from |
      | 2350 |
      | 2380 |

  Scenario Outline: A home that stops gives up no call that its target has started, with 6 s to stop
    Given servers with 60 slots, 6000 ms to stop and their nodes at desk-a pay-a pay-b
    When the entries of pay-b lapse
    And 500 ms pass
    And the node at pay-a is told to stop, and from <from> ms on callers at desk-a send POST /pay/watch200 every 4 ms until it has ended
    Then no request that started at pay-a ended with status 502 or without an answer

    Examples:
      | from |
      | 1350 |
      | 1450 |
      | 2320 |
      | 2350 |
      | 2380 |

  # Guards against the end of a connection that is read before the answer on it.
  Scenario Outline: An answer is passed on whole when the target ends the connection after it
    Given servers with their nodes at desk-a pay-a
    Then <count> requests POST /pay/<path> from <at>, read after <after> ms, get status 200 with <bytes> bytes

    Examples:
      | count | path          | at     | after | bytes   |
      | 50    | closing       | desk-a | 0     | 12      |
      | 50    | closing       | pay-a  | 0     | 12      |
      | 50    | unannounced   | desk-a | 0     | 12      |
      | 50    | closing-reset | desk-a | 0     | 12      |
      | 50    | closing-reset | pay-a  | 0     | 12      |
      | 50    | unframed      | desk-a | 0     | 12      |
      | 5     | huge-closing  | desk-a | 500   | 4000000 |
      | 5     | huge-closing  | pay-a  | 500   | 4000000 |
      | 5     | huge-unframed | desk-a | 500   | 4000000 |
      | 1     | last          | desk-a | 0     | 12      |

  # Guards against payments that are ended at their target because the node that sent them has gone.
  Scenario: A payment runs to its end when the link to its entry node is lost
    Given servers with their nodes at desk-a pay-a
    When a caller at desk-a sends POST /pay/watch500, and after 150 ms the node at desk-a dies
    Then after 600 ms the server at pay-a has run it to its end

  # Guards against payments that lose their answer because the entry node stops.
  Scenario Outline: An entry node that stops gives up no payment that a target has started
    Given servers with 60 slots, <stop> ms to stop and their nodes at desk-a pay-a pay-b
    When the node at desk-a is told to stop, and from <from> ms on callers at desk-a send POST /pay/watch200 every 12 ms until it has ended
    Then no request that started at pay-a ended with status 502 or without an answer
    And no request that started at pay-b ended with status 502 or without an answer

    Examples:
      | stop  | from |
      | 6000  | 0    |
      | 10000 | 0    |
      | 10000 | 2340 |

  # Guards against payments that are given up because of bytes that belong to an earlier one.
  Scenario Outline: A payment is not given up because of a second answer to an earlier one
    Given servers with their nodes at desk-a pay-a
    When a caller at desk-a sends POST /pay/<first> 10 times, each followed by POST /pay/watch300 after <after> ms
    Then no request that started at pay-a ended with status 502 or without an answer

    Examples:
      | first | after |
      | extra | 0     |
      | extra | 20    |

  # Guards against long payments that are cut off because the home stops.
  Scenario Outline: A home that stops finishes payments that take nearly their whole timeout
    Given servers with 60 slots, <stop> ms to stop and their nodes at desk-a pay-a
    When the node at pay-a is told to stop, and from <from> ms on callers at desk-a send POST /pay/watch1700 every 40 ms until it has ended
    Then no request that started at pay-a ended with status 502 or without an answer

    Examples:
      | stop  | from |
      | 6000  | 1000 |
      | 10000 | 2200 |
