@0xc2a94be10d7f3586;

struct LoanQuery {
  service @0 :Text;
  hedge @1 :Bool;
}

struct LoanAnswer {
  granted @0 :Bool;
}

struct Envelope {
  union {
    loanQuery @0 :LoanQuery;
    loanAnswer @1 :LoanAnswer;
  }
}
