Feature: Requests survive the loss of processes

  Scenario: An agent crashes under load
    Given a deployment with 1 control host, 1 entry and 2 engines per data centre
    And every engine serves release critique-1
    And customers keep sending more requests than one engine per data centre can run
    When agent-crete-a-1 is killed and restarted
    Then engine-crete-a-1 receives new requests within 10 seconds
    And every answer is complete and belongs to its caller
    And no request that was reported as not run did run

  Scenario: A booking is resent to another entry when its entry crashes
    Given a deployment with 1 control host, 2 entries and 0 engines per data centre
    And customers keep sending bookings
    When 2 seconds pass
    And entry-attica-a-1 is killed and restarted
    And 2 seconds pass
    Then every booking ran at most once, and as reported to its caller

  Scenario: Graceful stops interrupt no request
    Given a deployment with 1 control host, 2 entries and 2 engines per data centre
    And every engine serves release critique-1
    And customers keep sending requests
    When agent-crete-a-1 and entry-crete-a-1 are stopped gracefully
    Then they exited with status 0
    And engine-crete-a-1 received no new requests from 4 seconds after that
    And no request was interrupted
    And every answer is complete and belongs to its caller

  Scenario: An engine restarts cold under load
    Given a deployment whose engines warm up over 4 seconds and can run 2 requests when cold
    And every engine serves release critique-1
    And customers keep sending requests
    When engine-crete-a-1 is killed and restarted
    Then engine-crete-a-1 receives new requests within 15 seconds
    And no engine was overloaded
    And every answer is complete and belongs to its caller
