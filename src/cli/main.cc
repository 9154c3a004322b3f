#include <cstdio>
#include <cstring>

int main(int Argc, char **Argv) {
  if (Argc == 2 && std::strcmp(Argv[1], "version") == 0) {
    std::puts(OLEANDERGAUGE_VERSION);
    return 0;
  }
  std::fputs("usage: oleandergauge version\n", stderr);
  return 2;
}
