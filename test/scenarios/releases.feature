Feature: Only whole and right weights reach an engine

  Scenario: An origin that corrupts chunks
    Given a deployment with 1 control host, 1 entry and 2 engines a data centre
    When the origin corrupts 3 of 10 answers
    And release critique-1 is started
    Then every engine serves release critique-1 within 30 seconds
    And no engine ever loaded other weights

  Scenario: An agent dies in the middle of a burst
    Given a deployment with 1 control host, 1 entry and 2 engines a data centre
    And every engine serves release critique-1
    And customers keep asking
    When release critique-2 is started
    And agent-crete-a-1 is killed and started again
    Then every engine serves release critique-2 within 30 seconds
    And no engine ever loaded other weights
    And every answer is the caller's own and whole
