Feature: Settings survive the failure of control hosts

  Scenario: The control leader is cut off silently
    Given a deployment with 3 control hosts, 1 entry and 1 engine per data centre
    And every engine serves release critique-1
    And customers keep sending requests
    When the control leader is cut off silently
    Then another control host becomes leader within 8 seconds
    And the cut-off leader answers no operator
    And customer label-one can be removed
    And every entry refuses customer label-one within 8 seconds
    And an engine in crete-a receives new requests within 8 seconds
    And every answer is complete and belongs to its caller

  Scenario: A configuration in force stays in force after restarts
    Given a deployment with 3 control hosts, 1 entry and 1 engine per data centre
    When customer label-one is removed
    Then every entry refuses customer label-one within 8 seconds
    When the control leader is killed and restarted
    And entry-crete-a-1 is killed and restarted
    Then every entry refuses customer label-one within 8 seconds
    And customer label-one is absent from the state of the leader
