# Helpers that every subsystem's CMakeLists.txt calls.

set(SAVORY_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)

# savory_library(NAME SOURCES file... [DEPENDS target...])
# A subsystem: a static library named savory_NAME.
function(savory_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(savory_${name} STATIC ${arg_SOURCES})
  target_include_directories(savory_${name} PUBLIC ${PROJECT_SOURCE_DIR}/source)
  target_compile_options(savory_${name} PRIVATE ${SAVORY_WARNINGS})
  target_link_libraries(savory_${name} PUBLIC ${arg_DEPENDS})
endfunction()

# savory_program(NAME SOURCES file... [DEPENDS target...])
function(savory_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_compile_options(${name} PRIVATE ${SAVORY_WARNINGS})
  target_compile_definitions(${name} PRIVATE SAVORY_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# savory_test(NAME SOURCES file... [DEPENDS target...] [LABELS label...] [TIMEOUT seconds])
function(savory_test name)
  cmake_parse_arguments(arg "" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_compile_options(${name} PRIVATE ${SAVORY_WARNINGS})
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS} GTest::gtest_main GTest::gmock rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 120)
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT ${arg_TIMEOUT} LABELS "${arg_LABELS}"
    ENVIRONMENT "RC_PARAMS=seed=20261203;SAVORY_BIN=${PROJECT_BINARY_DIR}/bin;SAVORY_SOURCE=${PROJECT_SOURCE_DIR}")
endfunction()
