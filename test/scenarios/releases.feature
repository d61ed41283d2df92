Feature: Only whole and right weights reach an engine

  Scenario: An origin that corrupts chunks
    Given a deployment with 1 control host, 1 entry and 2 engines a data centre
    When the origin corrupts the first answer for each chunk
    And release critique-1 is started
    Then every engine serves release critique-1 within 30 seconds
    And no engine ever loaded other weights

  Scenario: An origin with other content under the name of a release stops it
    Given a deployment with 1 control host, 1 entry and 1 engine a data centre
    And every engine serves release critique-1
    When the origin serves other content under the same name
    And release critique-2 is started
    Then release critique-2 has failed within 30 seconds
    And every engine serves release critique-1 within 5 seconds
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
