Feature: Servers state in their answers what they take
  A server in need names the requests a second that it takes from all nodes together; one that leaves says so.

  # Guards against nodes that send a server more than the limit it names.
  Scenario: A server gets no more from all nodes together than the limit that it names
    Given servers with 20 slots and their nodes at desk-a pay-a pay-b
    When requesters at pay-a keep sending GET /desk/wait100 40 times a second
    And requesters at pay-b keep sending GET /desk/wait100 40 times a second
    And 3000 ms pass
    And the server at desk-a names a limit of 25.5 a second
    Then 9 s later the server at desk-a has got no more than its limit allows
    And in the last 4 s the server at desk-a got at least 80 requests

  # Guards against a server that gets a burst because the node beside it started again and knows no limit.
  Scenario: The limit holds when the node beside the server starts again
    Given servers with 40 slots and their nodes at desk-a pay-a pay-b
    When the server at desk-a names a limit of 2 a second
    And requesters at pay-a keep sending GET /desk/wait300 2 times a second
    And requesters at pay-b keep sending GET /desk/wait300 2 times a second
    And 3000 ms pass
    And requesters at pay-a keep sending GET /desk/wait300 30 times a second
    And requesters at pay-b keep sending GET /desk/wait300 30 times a second
    And 3000 ms pass
    And the node at desk-a dies
    And 500 ms pass
    And the node at desk-a is started again
    Then 7 s later the server at desk-a has got no more than its limit allows

  # Guards against requests for a server that has said in an answer that it is leaving.
  @known-red
  Scenario: A server that says it is leaving gets nothing that is sent later
    Given servers with 20 slots and their nodes at desk-a desk-b pay-a pay-b
    When requesters at pay-a keep sending GET /desk/wait50 20 times a second
    And requesters at pay-b keep sending GET /desk/wait50 20 times a second
    And requesters at desk-a keep sending GET /desk/wait50 20 times a second
    And 1000 ms pass
    And the server at desk-a says that it is leaving
    Then 6 s later no request has reached the server at desk-a that was sent 2 s after its VM knew
    And in the last 3 s at least 99 % of the requests were served

  # Guards against requests that wait for the only server of a service, which has said that it is leaving.
  Scenario: Requests are refused at once when the only server says that it is leaving
    Given servers with 20 slots and their nodes at desk-a pay-a pay-b
    When requesters at pay-a keep sending GET /desk/wait50 20 times a second
    And requesters at pay-b keep sending GET /desk/wait50 20 times a second
    And 1000 ms pass
    And the server at desk-a says that it is leaving
    Then 6 s later no request has reached the server at desk-a that was sent 2 s after its VM knew
    And in the last 2 s all requests were refused within 100 ms

  # A restart excuses the VM of the caller; the home keeps the limit all the same.
  Scenario: The limit holds when the nodes that know it start again
    Given servers with 40 slots and their nodes at desk-a pay-a pay-b
    When the server at desk-a names a limit of 5 a second
    And requesters at pay-a keep sending GET /desk/wait100 4 times a second
    And 3000 ms pass
    And requesters at pay-a keep sending GET /desk/wait100 30 times a second
    And requesters at pay-b keep sending GET /desk/wait100 30 times a second
    And 2000 ms pass
    And the node at pay-a dies
    And the node at pay-b dies
    And 500 ms pass
    And the node at pay-a is started again
    And the node at pay-b is started again
    Then 7 s later the server at desk-a has got no more than its limit allows
    And in the last 3 s the server at desk-a got at least 10 requests

  Scenario: Requests turn to a server without a limit, and return when the limit ends
    Given servers with 20 slots and their nodes at desk-a desk-b pay-a
    When requesters at pay-a keep sending GET /desk/wait100 60 times a second
    And 2000 ms pass
    And the server at desk-a names a limit of 15 a second
    Then 7 s later the server at desk-a has got no more than its limit allows
    And in the last 4 s at least 99 % of the requests were served
    When the server at desk-a names no limit any more
    And 4000 ms pass
    Then in the last 2 s the server at desk-a got at least 40 requests

  # A restart of the home excuses none of the others; a store that is away excuses nobody.
  Scenario: A server that says it is leaving gets nothing later although the node beside it starts again
    Given servers with 20 slots and their nodes at desk-a desk-b pay-a pay-b
    When requesters at pay-a keep sending GET /desk/wait50 30 times a second
    And requesters at pay-b keep sending GET /desk/wait50 30 times a second
    And 1000 ms pass
    And the store hangs
    And the server at desk-a says that it is leaving
    And 2500 ms pass
    And the node at desk-a dies
    And 300 ms pass
    And the node at desk-a is started again
    And 2000 ms pass
    And the store returns
    Then 4 s later no request has reached the server at desk-a that was sent 2 s after its VM knew

  # A restart excuses the VM of the caller; the home drains the server all the same.
  Scenario: A server that says it is leaving gets nothing later from nodes that start again
    Given servers with 20 slots and their nodes at desk-a desk-b pay-a pay-b
    When requesters at pay-a keep sending GET /desk/wait50 30 times a second
    And requesters at pay-b keep sending GET /desk/wait50 30 times a second
    And 1000 ms pass
    And the server at desk-a says that it is leaving
    And 1500 ms pass
    And the node at pay-a dies
    And the node at pay-a is started again
    Then 5 s later no request has reached the server at desk-a that was sent 2 s after its VM knew

  # An older copy of the store may bring back the entry of a server that has left.
  Scenario: A server that said it is leaving stays out of use when its entry is published again
    Given servers with 20 slots and their nodes at desk-a desk-b pay-a
    When requesters at pay-a keep sending GET /desk/wait50 30 times a second
    And 1000 ms pass
    And the server at desk-a says that it is leaving
    And 500 ms pass
    And the entries of desk-a lapse
    And 1500 ms pass
    And desk-a announces ready
    Then 5 s later no request has reached the server at desk-a that was sent 2 s after its VM knew
    And the beliefs of pay-a say "\"state\":\"leaving\",\"reason\":\"it says so in its answers\""
