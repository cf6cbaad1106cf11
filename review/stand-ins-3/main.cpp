// Plays one case of the third review: review_case NAME RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if
// the case could not run.
#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "cases.h"
#include "fleet.h"

int main(int argc, char** argv) {
    const std::map<std::string, int (*)(review::record&)> cases = {
        {"late_resend_elsewhere", review::late_resend_elsewhere},
        {"malformed_answers", review::malformed_answers},
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review_case NAME RECORD\n";
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    review::record log(argv[2]);
    log.line("case " + found->first);
    try {
        return found->second(log);
    } catch (const std::exception& e) {
        log.line(std::string("could not run: ") + e.what());
        return 2;
    }
}
