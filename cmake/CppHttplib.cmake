# The stand-ins and some tests serve HTTP with cpp-httplib. The layout of its classes depends on macros, which must match
# those that the installed library was built with; only pkg-config provides them. If they differ, the library's
# constructors write past the end of our objects.
find_package(PkgConfig REQUIRED)
pkg_check_modules(CppHttplib REQUIRED IMPORTED_TARGET GLOBAL cpp-httplib)
