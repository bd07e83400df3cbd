# hibiscus_library(NAME [LINK targets...] [TEST_LINK targets...])
#
# Defines the static library hibiscus_NAME from the sources of the current folder, and the test program test_NAME from
# its autotests folder, if there is one.
function(hibiscus_library NAME)
    cmake_parse_arguments(ARG "" "" "LINK;TEST_LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS "*.cpp")
    add_library(hibiscus_${NAME} STATIC ${sources})
    target_include_directories(hibiscus_${NAME} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(hibiscus_${NAME} PUBLIC ${ARG_LINK})

    file(GLOB tests CONFIGURE_DEPENDS "autotests/*.cpp")
    if(tests)
        add_executable(test_${NAME} ${tests})
        target_link_libraries(test_${NAME} PRIVATE hibiscus_${NAME} hibiscus_testmain ${ARG_TEST_LINK})
        add_test(NAME test_${NAME} COMMAND test_${NAME})
        # Fixed seed, so that a property test gives the same verdict on every run.
        set_tests_properties(test_${NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200" TIMEOUT 300)
    endif()
endfunction()
