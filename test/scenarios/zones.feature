Feature: A data centre leaves and returns

  Scenario: A data centre that is taken out gets no new work
    Given a deployment with 1 control host, 1 entry and 1 engine a data centre
    And every engine serves release critique-1
    And customers keep asking
    When data centre crete-a is taken out
    And 6 seconds pass
    Then each engine in crete-a got no new work from 4 seconds after that
    When data centre crete-a is brought back
    Then an engine in crete-a gets new work within 15 seconds
    And no request was cut off
    And every answer is the caller's own and whole

  Scenario: A data centre that the network cuts off is out all the same
    Given a deployment with 1 control host, 1 entry and 1 engine a data centre
    And every engine serves release critique-1
    And customers keep asking
    When crete-a is cut off silently
    And data centre crete-a is taken out
    And 6 seconds pass
    Then each engine in crete-a got no new work from 4 seconds after that
    When the network heals
    Then every answer is the caller's own and whole
