#include <iostream>

int main() {
  std::cerr << "not built yet\n";
  return 2;
}
