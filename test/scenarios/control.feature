Feature: Control hosts fail, settings stay

  Scenario: The control leader is cut off silently
    Given a deployment with 3 control hosts, 1 entry and 1 engine a data centre
    And every engine serves release critique-1
    And customers keep asking
    When the control leader is cut off silently
    Then another control host leads within 8 seconds
    And the one that was cut off answers no operator
    And customer label-one can be removed
    And every entry refuses customer label-one within 8 seconds
    And an engine in crete-a gets new work within 8 seconds
    And every answer is the caller's own and whole

  Scenario: A configuration in force stays in force after restarts
    Given a deployment with 3 control hosts, 1 entry and 1 engine a data centre
    When customer label-one is removed
    Then every entry refuses customer label-one within 8 seconds
    When the control leader is killed and started again
    And entry-crete-a-1 is killed and started again
    Then every entry refuses customer label-one within 8 seconds
    And customer label-one is absent from the state of the leader
