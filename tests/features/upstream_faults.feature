Feature: No fault of upstream VMs loses, doubles, cuts or mixes a request
  Partners send reads, surveys and payments through the balancer. In the middle
  one thing fails for a while. Callers repeat what they may repeat. Every call
  ends, each answer is whole and the caller's own, a payment runs once, and what
  was refused as not run was not run.

  Scenario Outline: <fault>
    Given a running fleet
    When the partners send 240 mixed requests over 4 seconds
    And at 30 % <fault>
    And all is well again at 70 %
    Then every call comes to its end
    And no promise is broken
    And every repeatable request is answered
    And only requests that a fault met end unknown
    And at most <refused> % are refused as not run

    Examples: upstream VMs
      | fault                          | refused |
      | upstream connections go silent | 5       |
      | upstream VMs freeze            | 10      |
      | upstream VMs are slow          | 1       |
      | upstream VMs cut their answers | 20      |
      | upstream VMs lose answers      | 20      |
      | upstream VMs are down          | 1       |
      | upstream VMs reset connections | 5       |
      | upstream VMs are unreachable   | 5       |
