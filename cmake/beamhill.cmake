# beamhill_library(name SRCS ... DEPS ...): one static library per folder.
function(beamhill_library name)
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_library(beamhill_${name} STATIC ${ARG_SRCS})
  target_include_directories(beamhill_${name} PUBLIC ${PROJECT_SOURCE_DIR})
  target_link_libraries(beamhill_${name} PUBLIC ${ARG_DEPS})
endfunction()

# beamhill_binary(name SRCS ... DEPS ...): one executable.
function(beamhill_binary name)
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SRCS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS})
endfunction()

# beamhill_test(name SRCS ... DEPS ...): one GoogleTest binary, run by ctest.
function(beamhill_test name)
  if(NOT BEAMHILL_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SRCS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} rapidcheck GTest::gmock
                                        GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300
                       ENVIRONMENT "RC_PARAMS=seed=20261202")
endfunction()

# beamhill_benchmark(name SRCS ... DEPS ...): one Google Benchmark binary.
function(beamhill_benchmark name)
  if(NOT BEAMHILL_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SRCS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} benchmark::benchmark_main)
endfunction()
