Feature: What a target has started is not given up
  A node that stops, or the target beside it, ends nothing that runs.

  # Guards against a home that closes while it still accepts calls.
  @known-red
  Scenario Outline: A home that stops gives up no call that its target has started, with 10 s to stop
    Given servers with 60 slots, 10000 ms to stop and their nodes at desk-a pay-a pay-b
    When the entries of pay-b lapse
    And 500 ms pass
    And the node at pay-a is told to stop, and from <from> ms on callers at desk-a send POST /pay/wait200 every 4 ms until it has ended
    Then no request that started at pay-a ended with status 502 or without an answer

    Examples:
      | from |
      | 2350 |
      | 2380 |

  Scenario Outline: A home that stops gives up no call that its target has started, with 6 s to stop
    Given servers with 60 slots, 6000 ms to stop and their nodes at desk-a pay-a pay-b
    When the entries of pay-b lapse
    And 500 ms pass
    And the node at pay-a is told to stop, and from <from> ms on callers at desk-a send POST /pay/wait200 every 4 ms until it has ended
    Then no request that started at pay-a ended with status 502 or without an answer

    Examples:
      | from |
      | 1350 |
      | 1450 |
      | 2320 |
      | 2350 |
      | 2380 |
