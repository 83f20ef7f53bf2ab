Feature: A slow caller holds its backend server back

  Scenario: A caller stops reading a long answer and reads on later
    Given seed 16
    And a desk fleet of 1 router, 1 replica and 2 slots
    When a caller asks for an answer of 96 MB and stops reading
    Then the backend server stops writing before 48 MB
    And the other callers of 10 streams have their answers
    And the caller that reads on has the whole answer
