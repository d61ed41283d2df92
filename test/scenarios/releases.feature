Feature: Only complete and correct weights reach an engine

  Scenario: An origin that corrupts chunks
    Given a deployment with 1 control host, 1 entry and 2 engines per data centre
    When the origin corrupts the first answer for each chunk
    And release critique-1 is started
    Then every engine serves release critique-1 within 30 seconds
    And no engine loaded any other weights

  Scenario: A release fails when the origin serves other content under its name
    Given a deployment with 1 control host, 1 entry and 1 engine per data centre
    And every engine serves release critique-1
    When the origin serves other content under the same name
    And release critique-2 is started
    Then release critique-2 has failed within 30 seconds
    And every engine serves release critique-1 within 5 seconds
    And no engine loaded any other weights

  Scenario: An agent crashes during a rollout
    Given a deployment with 1 control host, 1 entry and 2 engines per data centre
    And every engine serves release critique-1
    And customers keep sending requests
    When release critique-2 is started
    And agent-crete-a-1 is killed and restarted
    Then every engine serves release critique-2 within 30 seconds
    And no engine loaded any other weights
    And every answer is complete and belongs to its caller
