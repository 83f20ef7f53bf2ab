Feature: Back pressure from a slow caller reaches the backend server

  Scenario: A caller stops reading a long answer and resumes later
    Given seed 16
    And a desk fleet of 1 router, 1 replica and 2 slots
    When a caller asks for an answer of 96 MB and stops reading
    Then the backend server stops writing before 48 MB
    And 10 other callers receive their streams
    And the caller reads on and receives the whole answer
