Feature: Guarantees for published lists, ejections and orders

  Scenario: Two operators amend the same revision
    Given the lists are published at revision 1
    When two operators amend revision 1, one after the other in the log
    Then the first amendment is accepted as revision 2
    And the second one lost the race and changed nothing

  Scenario: An invalid amendment is refused as a whole
    Given the lists are published at revision 1
    When an operator gives a customer a plan that does not exist
    Then the amendment is refused and revision 1 stays in force

  Scenario Outline: Ejection stops at the floor
    Given a service with <announced> endpoints and a floor of <floor> percent
    When the agents of all endpoints claim their ejection
    Then <ejected> endpoints are ejected

    Examples:
      | announced | floor | ejected |
      | 8         | 50    | 4       |
      | 11        | 60    | 4       |
      | 3         | 100   | 0       |

  Scenario: The withdrawal of a VM ends an ejection that would violate the floor
    Given a service with 8 endpoints and a floor of 50 percent
    When the agents of all endpoints claim their ejection
    And a VM with a healthy endpoint is withdrawn
    Then the healthy endpoints are at least the floor

  Scenario: An order is repeated through another ingress
    Given an order that was claimed and has run
    When its key is claimed again through another ingress
    Then the verdict on the second claim is that the order has run
