"""Several entry hosts on one virtual clock, over fakes at their interfaces."""
