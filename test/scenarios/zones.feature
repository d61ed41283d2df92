Feature: Data centres are taken out of service and back

  Scenario: A data centre that is taken out receives no new requests
    Given a deployment with 1 control host, 1 entry and 1 engine per data centre
    And every engine serves release critique-1
    And customers keep sending requests
    When data centre crete-a is taken out
    And 6 seconds pass
    Then each engine in crete-a received no new requests from 4 seconds after that
    When data centre crete-a is brought back
    Then an engine in crete-a receives new requests within 15 seconds
    And no request was interrupted
    And every answer is complete and belongs to its caller

  Scenario: A data centre can be taken out while the network cuts it off
    Given a deployment with 1 control host, 1 entry and 1 engine per data centre
    And every engine serves release critique-1
    And customers keep sending requests
    When crete-a is cut off silently
    And data centre crete-a is taken out
    And 6 seconds pass
    Then each engine in crete-a received no new requests from 4 seconds after that
    When the network heals
    Then every answer is complete and belongs to its caller
