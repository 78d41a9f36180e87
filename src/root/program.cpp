#include "root/program.h"

#include <exception>

namespace bluebell::root {

int run_program(const char* usage, const char* name, int argc, char** argv,
                const std::function<int(arguments&)>& program) {
    try {
        arguments args = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
        return program(args);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return exit_good;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << name << " " BLUEBELL_VERSION "\n";
        return exit_good;
    } catch (const docopt::DocoptArgumentError& fault) {
        std::cerr << "usage: " << fault.what() << "\n\n" << usage;
        return exit_usage;
    } catch (const std::exception& fault) {
        std::cerr << name << ": " << fault.what() << '\n';
        return exit_failed;
    }
}

} // namespace bluebell::root
