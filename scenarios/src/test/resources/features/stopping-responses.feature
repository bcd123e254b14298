Feature: Responses that stop before their end
  A server in trouble begins a response, writes no more and keeps the connection open. The route allows 2 s.

  # Guards against a deadline that ends with the head of a response: the caller waited 1 to 1.5 s longer.
  Scenario Outline: The caller of a response that stops gets an answer at the timeout of its route
    Given servers with their nodes at desk-a pay-a
    When a requester at <vm> sends <method> <path>
    Then it gets status 504
    And the answer came within 2700 ms
    And the answer came after 1950 ms or later

    Examples:
      | vm     | method | path                 |
      | desk-a | GET    | /desk/stops-start    |
      | desk-a | GET    | /desk/stops-head     |
      | pay-a  | GET    | /desk/stops-head     |
      | pay-a  | GET    | /desk/stops-body     |
      | desk-a | GET    | /desk/stops-unframed |
      | desk-a | GET    | /desk/stops-chunk    |
      | pay-a  | POST   | /pay/stops-head      |
      | desk-a | POST   | /pay/stops-body      |

  # Guards against a caller that waits for the rest of a response long after the timeout of its route.
  Scenario Outline: A response that stops while its caller receives it is cut at the timeout of its route
    Given servers with their nodes at desk-a pay-a
    When a requester at <vm> reads the answer to <method> <path> to its end
    Then it broke off after at most 2700 ms

    Examples:
      | vm     | method | path                   |
      | desk-a | GET    | /desk/stops-long       |
      | pay-a  | GET    | /desk/stops-long-chunk |
      | pay-a  | POST   | /pay/stops-long        |

  # Guards against requests that wait for one that stops ahead of them on their connection.
  Scenario: Requests behind a response that stops get their answers at its timeout
    Given servers with their nodes at desk-a pay-a
    When a requester at pay-a pipelines GET /desk/stops-body, GET /desk/ok
    Then it gets the statuses 504 200 within 2700 ms

  # Guards against cutting the response ahead when one behind it, of which nothing is written, has to end.
  Scenario: The end of a response that waits for an earlier one leaves that one alone
    Given servers with their nodes at desk-a pay-a
    And a route /patient/ that allows 4 s
    When a requester at pay-a pipelines GET /patient/wait2800, GET /desk/stops-long
    Then it gets the statuses 200 504 within 3600 ms

  # Guards against cutting a response that arrives late, but whole.
  Scenario: A response that is whole shortly before the timeout is delivered
    Given servers with their nodes at desk-a pay-a
    When a requester at pay-a sends GET /desk/wait1800
    Then it gets status 200
