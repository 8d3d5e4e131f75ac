Feature: An upstream VM that is leaving gets no new work after a few seconds
  The platform drains VMs. Its list says so only half a minute later, but the VM
  refuses the first request it gets. The entry VM that hears it tells the others,
  so that within three seconds nobody sends the VM anything, and the callers of
  the refused requests are answered by other VMs.

  Scenario Outline: <vms> drain while the list lags by 30 seconds
    Given a running fleet
    When the partners send 600 mixed requests over 7 seconds
    And at 20 % <vms> drain
    Then every call comes to its end
    And no work reached a leaving VM later than 3 seconds after the start
    And no promise is broken
    And every request is answered

    Examples:
      | vms                                |
      | consent-z1-vm-1                    |
      | consent-z2-vm-1 and survey-z2-vm-1 |
      | compensation-z3-vm-1               |
