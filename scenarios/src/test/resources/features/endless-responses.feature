Feature: Responses that never end
  A server in trouble sends bytes until its reader closes the connection, in the place of a head or of a body.
  It gets rid of what the node reads, at most 4 MiB, and of what the buffers of the system hold: 4 MiB to send and
  32 MiB to receive, the usual maximum.

  # Guards against bytes that never end where a response is due: they hold a slot, memory or processor time.
  Scenario Outline: Bytes without end in the place of an answer cost no more than the deadline, a bounded amount and one attempt
    Given servers with their nodes at desk-a pay-a
    When a requester at desk-a sends <method> <path>
    Then it gets status <status>
    And the answer came within <millis> ms
    And within 1 s nothing runs at <server>
    And the server at <server> got rid of at most 42000000 bytes
    When a requester at desk-a sends <method> <good>
    Then it gets status 200

    Examples:
      | method | path                     | status | millis | server | good     |
      | GET    | /desk/endless-noise      | 502    | 1000   | desk-a | /desk/ok |
      | GET    | /desk/endless-blank      | 502    | 1000   | desk-a | /desk/ok |
      | GET    | /desk/endless-head       | 502    | 1000   | desk-a | /desk/ok |
      | GET    | /desk/endless-interim    | 502    | 1000   | desk-a | /desk/ok |
      | GET    | /desk/endless-foreign    | 502    | 1000   | desk-a | /desk/ok |
      | GET    | /desk/endless-refusal    | 503    | 1000   | desk-a | /desk/ok |
      | GET    | /desk/endless-chunk-size | 502    | 1000   | desk-a | /desk/ok |
      | POST   | /pay/endless-noise       | 502    | 1000   | pay-a  | /pay/ok  |
      | POST   | /pay/endless-foreign     | 502    | 1000   | pay-a  | /pay/ok  |
      | POST   | /pay/endless-interim     | 502    | 1000   | pay-a  | /pay/ok  |
      | POST   | /pay/endless-refusal     | 503    | 1000   | pay-a  | /pay/ok  |
      | POST   | /pay/endless-head        | 502    | 1000   | pay-a  | /pay/ok  |

  # Guards against an endless body that is passed on, or buffered, without end.
  Scenario Outline: A body without end is cut off for its reader, after the deadline at the latest
    Given servers with their nodes at desk-a pay-a
    When a requester at desk-a reads the answer to <method> <path> to its end
    Then it broke off after at most 4500 ms
    And within 1 s nothing runs at <server>

    Examples:
      | method | path                 | server |
      | GET    | /desk/endless-body   | desk-a |
      | GET    | /desk/endless-chunks | desk-a |
      | POST   | /pay/endless-body    | pay-a  |

  # Guards against a replaced server error whose body never ends and holds a slot.
  Scenario: An error body without end does not hold the slot after another was asked
    Given servers with their nodes at desk-a desk-b pay-a
    When a requester at desk-a sends GET /desk/endless-error and leaves after 300 ms
    Then within 1 s nothing runs at desk-a
    And the server at desk-a got rid of at most 42000000 bytes
