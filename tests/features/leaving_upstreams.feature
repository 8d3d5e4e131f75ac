Feature: An upstream VM that is leaving gets no new work after a few seconds
  The platform drains VMs. Its VM list shows this only 30 seconds later, but a
  draining VM refuses the first request it receives. The entry VM that receives the
  refusal notifies the others, so that no entry VM sends requests to the draining VM
  after three seconds. Other VMs answer the refused requests.

  Scenario Outline: <vms> drain while the list lags by 30 seconds
    Given a running fleet
    When the partners send 600 mixed requests over 7 seconds
    And at 20 % <vms> drain
    Then every call ends
    And no work reached a leaving VM later than 3 seconds after the start
    And every guarantee holds
    And every request is answered

    Examples:
      | vms                                |
      | consent-z1-vm-1                    |
      | consent-z2-vm-1 and survey-z2-vm-1 |
      | compensation-z3-vm-1               |
