# Adds the static library dragonflylock_NAME of the module in this folder.
function(dragonflylock_add_module Name)
  cmake_parse_arguments(Module "" "" "SOURCES;LINK" ${ARGN})
  add_library(dragonflylock_${Name} STATIC ${Module_SOURCES})
  target_include_directories(dragonflylock_${Name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>)
  target_link_libraries(dragonflylock_${Name} PUBLIC ${Module_LINK})
  target_compile_options(dragonflylock_${Name} PRIVATE -Wall -Wextra)
endfunction()

# Adds the test program of the module in this folder.
function(dragonflylock_add_tests Name)
  if(NOT DRAGONFLYLOCK_TESTS)
    return()
  endif()
  cmake_parse_arguments(Tests "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${Name}_tests ${Tests_SOURCES})
  target_link_libraries(${Name}_tests PRIVATE ${Tests_LINK} GTest::gmock
    GTest::gtest_main)
  gtest_discover_tests(${Name}_tests DISCOVERY_TIMEOUT 60
    PROPERTIES TIMEOUT 300)
endfunction()
