Feature: Requests survive the loss of processes

  Scenario: An agent dies while customers ask
    Given a deployment with 1 control host, 1 entry and 2 engines a data centre
    And every engine serves release critique-1
    And customers keep asking more than one engine a data centre has room for
    When agent-crete-a-1 is killed and started again
    Then engine-crete-a-1 gets new work within 10 seconds
    And every answer is the caller's own and whole
    And every caller was told the truth

  Scenario: A booking is resent to another entry when its entry dies
    Given a deployment with 1 control host, 2 entries and 0 engines a data centre
    And customers keep booking
    When 2 seconds pass
    And entry-attica-a-1 is killed and started again
    And 2 seconds pass
    Then every booking ran at most once, and as its caller was told

  Scenario: Planned stops cut off no request
    Given a deployment with 1 control host, 2 entries and 2 engines a data centre
    And every engine serves release critique-1
    And customers keep asking
    When agent-crete-a-1 and entry-crete-a-1 are stopped gracefully
    Then they ended with exit status 0
    And engine-crete-a-1 got no new work from 4 seconds after that
    And no request was cut off
    And every answer is the caller's own and whole

  Scenario: An engine restarts cold under load
    Given a deployment whose engines warm up over 4 seconds and bear 2 requests cold
    And every engine serves release critique-1
    And customers keep asking
    When engine-crete-a-1 is killed and started again
    Then engine-crete-a-1 gets new work within 15 seconds
    And no engine was given more than it bears
    And every answer is the caller's own and whole
